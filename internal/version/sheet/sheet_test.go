package sheet_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"heatherport/internal/result"
	"heatherport/internal/version/sheet"
)

const smallSheet = `version,7
service,a,192.0.2.1,tcp,443,10m,no
service,b,2001:db8::1,udp,443,90s,yes
upstream,a,a1,active,3,2000
upstream,b,b1,paused,2,100
`

func TestDigestIgnoresLayout(t *testing.T) {
	want, err := sheet.Parse(strings.NewReader(smallSheet))
	must.NoError(t, err)
	shuffled := "\xef\xbb\xbf# 2\" exported\r\n\"# quoted, too\",,\r\nversion, 7,,,,, \r\n,,,,,,\r\n" +
		"upstream, b ,b1,paused,2,100\r\n\r\n# rows in any order\r\n" +
		"service,b,2001:DB8:0::1,udp,443,1m30s,yes\r\n" +
		"upstream,a,a1,\"active\",3,2000,\r\nservice,a,::ffff:192.0.2.1,tcp,443,600s,no\r\n"
	got, err := sheet.Parse(strings.NewReader(shuffled))
	must.NoError(t, err)
	must.Eq(t, string(want.Canonical()), string(got.Canonical()))
	must.Eq(t, want.Digest(), got.Digest())

	other, err := sheet.Parse(strings.NewReader(strings.Replace(smallSheet, "2000", "2001", 1)))
	must.NoError(t, err)
	must.NotEq(t, want.Digest(), other.Digest())
}

func TestFaultsNameLineAndColumn(t *testing.T) {
	const head = "version,1\nservice,a,192.0.2.1,tcp,443,10m,no\n"
	cases := []struct {
		name, in string
		want     []sheet.Fault
	}{
		{"empty", "", []sheet.Fault{{1, 1, `the first row must be "version,N"`}}},
		{"no service", "version,1\n", []sheet.Fault{{1, 1, "the sheet lists no service"}}},
		{"number", "version,0\nservice,a,192.0.2.1,tcp,443,10m,no\n",
			[]sheet.Fault{{1, 9, `version "0" is not a whole number from 1 to 9223372036854775807`}}},
		{"second version", head + "version,2\n",
			[]sheet.Fault{{3, 1, "the version row must come first and only once"}}},
		{"kind", head + "backend,x\n",
			[]sheet.Fault{{3, 1, `row kind "backend" is neither service nor upstream`}}},
		{"count", head + "upstream,a,a1,active,3\n",
			[]sheet.Fault{{3, 22, "upstream row has 5 fields, want 6"}}},
		{"unknown service", head + "upstream,c,c1,active,3,10\n",
			[]sheet.Fault{{3, 10, `no service is called "c"`}}},
		{"duplicates", head + "service,a,192.0.2.1,tcp,443,10m,no\nupstream,a,u,active,1,1\nupstream,a,u,active,1,1\n",
			[]sheet.Fault{
				{3, 9, `service "a" is listed already in line 2`},
				{3, 11, "address 192.0.2.1 port 443/tcp is in use already in line 2"},
				{5, 12, `upstream "u" is listed already in line 4`},
			}},
		{"quote", head + "upstream,a,u\"x,active,1,1\n",
			[]sheet.Fault{{3, 13, `bare " in non-quoted-field`}}},
		{"every field", head + "service,-b,0.0.0.0,sctp,0,8d,maybe\nupstream,a,u,gone,0,x\n",
			[]sheet.Fault{
				{3, 9, `service name "-b" is not 1 to 63 letters, digits, '-', '_' or '.', starting with a letter or digit`},
				{3, 12, `address "0.0.0.0" is not a unicast address`},
				{3, 20, `protocol "sctp" is neither tcp nor udp`},
				{3, 25, `port "0" is not a whole number from 1 to 65535`},
				{3, 27, `idle timeout "8d" is not a duration from 1s to 168h0m0s`},
				{3, 30, `idempotent "maybe" is neither yes nor no`},
				{4, 14, `state "gone" is none of active, joining, leaving, paused`},
				{4, 19, `slots "0" is not a whole number from 1 to 10000`},
				{4, 21, `connection limit "x" is not a whole number from 1 to 100000000`},
			}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, err := sheet.Parse(strings.NewReader(c.in))
			must.Nil(t, s)
			must.Eq(t, result.BadSheet, result.CodeOf(err))
			var faults sheet.Faults
			must.True(t, errors.As(err, &faults))
			must.Eq(t, c.want, []sheet.Fault(faults))
		})
	}
}

func TestSizeBounds(t *testing.T) {
	_, err := sheet.Parse(strings.NewReader(strings.Repeat("#", sheet.MaxBytes+1)))
	must.Eq(t, result.SheetTooLarge, result.CodeOf(err))

	_, err = sheet.Parse(strings.NewReader(strings.Repeat("x\n", sheet.MaxFaults+5)))
	must.StrContains(t, err.Error(), "1006 faults, 1000 listed")

	s, err := sheet.Parse(bytes.NewReader(largeSheet(22_000, 38_000)))
	must.NoError(t, err)
	must.Len(t, 38_000, s.Upstreams)
}

func TestExamples(t *testing.T) {
	for _, name := range []string{"association", "milchkreis"} {
		f, err := os.Open("../../../examples/" + name + "/sheet.csv")
		must.NoError(t, err)
		s, err := sheet.Parse(f)
		must.NoError(t, err)
		must.Len(t, 2, s.Services)
		must.Len(t, 19, s.Upstreams)
		must.NoError(t, f.Close())
	}
}

// FuzzParse checks that any input is rejected with faults, or accepted and equal
// to the result of parsing its canonical encoding.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallSheet))
	f.Add([]byte("version,1\nservice,a,192.0.2.1,tcp,443,10m,no\nupstream,a,\"u\n"))
	f.Add([]byte("version,1\r\n,,,\n\"\"\"\n#\n"))
	f.Add([]byte("service,a\nversion,18446744073709551616\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := sheet.Parse(bytes.NewReader(data))
		if err != nil {
			var faults sheet.Faults
			must.True(t, errors.As(err, &faults))
			must.Positive(t, len(faults))
			return
		}
		again, err := sheet.Parse(bytes.NewReader(s.Canonical()))
		must.NoError(t, err)
		must.Eq(t, s, again)
	})
}

func BenchmarkParse(b *testing.B) {
	data := largeSheet(22_000, 38_000)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		_, err := sheet.Parse(bytes.NewReader(data))
		must.NoError(b, err)
	}
}

func largeSheet(services, upstreams int) []byte {
	var b bytes.Buffer
	b.WriteString("version,1\n")
	for i := range services {
		fmt.Fprintf(&b, "service,s%d,10.0.%d.%d,tcp,443,10m,no\n", i, i>>8, i&255)
	}
	for i := range upstreams {
		fmt.Fprintf(&b, "upstream,s%d,u%d,active,3,2000\n", i%services, i)
	}
	return b.Bytes()
}
