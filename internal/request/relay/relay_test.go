package relay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"heatherport/internal/connection"
	"heatherport/internal/connection/flow"
	"heatherport/internal/result"
	"heatherport/internal/version"
)

func testKey(id uint32) Key {
	k := Key{ID: id}
	k.Secret[0] = byte(id)
	return k
}

func testClock(now *time.Duration) func() time.Duration {
	return func() time.Duration { return *now }
}

func testCodec(id uint32) *Codec {
	ring, err := NewKeyring(testKey(id))
	if err != nil {
		panic(err)
	}
	now := time.Duration(0)
	return NewCodec(ring, testClock(&now))
}

var (
	testRelay = connection.Relay{From: 3, Hops: 2, Flags: connection.RelayHandover, Origin: 4, Upstream: 5, Epoch: 6}
	tuple     = flow.Key{Src: [16]byte{1}, Dst: [16]byte{2}, SrcPort: 3, DstPort: 4, Protocol: version.TCP}
)

func sealPacket(c *Codec, packet string) []byte {
	b := append(make([]byte, HeaderSize), packet...)
	c.SealPacket(b, &testRelay)
	return b
}

func TestRoundTrip(t *testing.T) {
	c := testCodec(1)
	var m Message

	must.Eq(t, result.OK, c.Open(sealPacket(c, "packet"), &m))
	must.Eq(t, TypePacket, m.Type)
	must.Eq(t, testRelay, m.Header)
	must.Eq(t, "packet", string(m.Body))

	p := connection.Packet{Key: tuple, Seq: 9, Flags: connection.FlagFin | connection.FlagEstablished}
	must.Eq(t, result.OK, c.Open(c.SealRefresh(make([]byte, FlowMessageSize), &testRelay, &p), &m))
	must.Eq(t, TypeRefresh, m.Type)
	must.Eq(t, testRelay, m.Header)
	must.Eq(t, p, m.Packet)

	h := connection.Hint{From: 7, Key: tuple, Upstream: 8, ISN: 9, Flags: connection.FlagOpen}
	must.Eq(t, result.OK, c.Open(c.SealHint(make([]byte, FlowMessageSize), &h), &m))
	must.Eq(t, TypeHint, m.Type)
	must.Eq(t, h, m.Hint())
}

// TestEveryFlagPasses guards against a relay flag that the codec does not
// accept: all packets with this flag would be dropped.
func TestEveryFlagPasses(t *testing.T) {
	c := testCodec(1)
	for flag := connection.RelayFlags(1); flag&connection.AllRelayFlags != 0; flag <<= 1 {
		h := connection.Relay{From: 3, Origin: 4, Upstream: 5, Flags: flag}
		b := append(make([]byte, HeaderSize), "packet"...)
		c.SealPacket(b, &h)
		var m Message
		must.Eq(t, result.OK, c.Open(b, &m))
		must.Eq(t, flag, m.Header.Flags)
	}
}

func TestCombinedFlagsPass(t *testing.T) {
	c := testCodec(1)
	var m Message
	h := connection.Relay{From: 1, Flags: connection.RelayAssumed | connection.AllRelayFlags}
	p := connection.Packet{Key: tuple, Flags: connection.FlagEstablished | connection.AllPacketFlags}
	must.Eq(t, result.OK, c.Open(c.SealRefresh(make([]byte, FlowMessageSize), &h, &p), &m))
	must.Eq(t, h, m.Header)
	must.Eq(t, p, m.Packet)
}

func TestOpenRejects(t *testing.T) {
	c := testCodec(1)
	reseal := func(b []byte, change func(b []byte)) []byte {
		change(b)
		c.sign(b)
		return b
	}
	hint := func() []byte { return c.SealHint(make([]byte, FlowMessageSize), &connection.Hint{From: 1, Key: tuple}) }
	flipped := func(i int) []byte {
		b := sealPacket(c, "packet")
		b[i] ^= 1
		return b
	}
	tests := []struct {
		name string
		b    []byte
		code result.Code
	}{
		{"empty", nil, result.DropRelayMalformed},
		{"short", sealPacket(c, "")[:HeaderSize-1], result.DropRelayMalformed},
		{"other format version", flipped(offsetVersion), result.DropRelayMalformed},
		{"changed header", flipped(offsetEpoch), result.DropRelayAuth},
		{"changed tag", flipped(offsetTag), result.DropRelayAuth},
		{"changed body", flipped(HeaderSize), result.DropRelayAuth},
		{"other key", sealPacket(testCodec(2), "packet"), result.DropRelayAuth},
		{"no packet", sealPacket(c, ""), result.DropRelayMalformed},
		{"unknown type", reseal(sealPacket(c, "p"), func(b []byte) { b[offsetType] = 9 }), result.DropRelayMalformed},
		{"unknown relay flag", reseal(sealPacket(c, "p"), func(b []byte) { b[offsetFlags] = 0x80 }), result.DropRelayMalformed},
		{"no sender", reseal(sealPacket(c, "p"), func(b []byte) { clear(b[offsetFrom:offsetOrigin]) }), result.DropRelayMalformed},
		{"too many hops", reseal(sealPacket(c, "p"), func(b []byte) { b[offsetHops] = 200 }), result.DropRelayHops},
		{"long hint", reseal(append(hint(), 0), func([]byte) {}), result.DropRelayMalformed},
		{"unknown packet flag", reseal(hint(), func(b []byte) { b[FlowMessageSize-1] = 0x80 }), result.DropRelayMalformed},
		{"unknown protocol", reseal(hint(), func(b []byte) { b[HeaderSize+36] = 1 }), result.DropRelayMalformed},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var m Message
			must.Eq(t, tc.code, c.Open(tc.b, &m))
		})
	}
}

func TestKeyringRejects(t *testing.T) {
	_, err := NewKeyring()
	must.Eq(t, result.BadArguments, result.CodeOf(err))
	ring, err := NewKeyring(testKey(1))
	must.NoError(t, err)
	must.Eq(t, result.BadArguments, result.CodeOf(ring.Replace(testKey(2), testKey(2))))
	must.Eq(t, result.BadArguments, result.CodeOf(ring.Replace(testKey(1), testKey(2), testKey(3))))
	must.Eq(t, 1, (*ring.keys.Load())[0].ID)
}

func TestRotation(t *testing.T) {
	const promote, end = 10 * time.Second, 20 * time.Second
	now := time.Duration(0)
	ring, err := NewKeyring(testKey(1))
	must.NoError(t, err)
	c := NewCodec(ring, testClock(&now))
	oldCodec, newCodec := testCodec(1), testCodec(2)
	accepts := func(from *Codec) bool {
		var m Message
		return c.Open(sealPacket(from, "packet"), &m) == result.OK
	}
	signedBy := func(id uint32) bool {
		var m Message
		return testCodec(id).Open(sealPacket(c, "packet"), &m) == result.OK
	}

	must.False(t, accepts(newCodec))
	first, second := testKey(1), testKey(2)
	first.AcceptUntil, second.SignFrom = end, promote
	must.NoError(t, ring.Replace(first, second))
	must.True(t, accepts(oldCodec))
	must.True(t, accepts(newCodec))
	must.True(t, signedBy(1))

	now = promote
	must.True(t, accepts(oldCodec))
	must.True(t, accepts(newCodec))
	must.True(t, signedBy(2))

	now = end
	must.False(t, accepts(oldCodec))
	must.True(t, accepts(newCodec))
}

func TestCodecDoesNotAllocate(t *testing.T) {
	c := testCodec(1)
	b := sealPacket(c, "packet")
	small := make([]byte, FlowMessageSize)
	var m Message
	must.Zero(t, testing.AllocsPerRun(100, func() {
		c.SealPacket(b, &testRelay)
		c.Open(b, &m)
		c.Open(c.SealRefresh(small, &testRelay, &m.Packet), &m)
	}))
}

// FuzzDecodeRelay opens arbitrary messages, as they are and with a valid tag.
func FuzzDecodeRelay(f *testing.F) {
	c := testCodec(1)
	f.Add(sealPacket(c, "packet"))
	f.Add(c.SealRefresh(make([]byte, FlowMessageSize), &testRelay, &connection.Packet{Key: tuple}))
	f.Add(c.SealHint(make([]byte, FlowMessageSize), &connection.Hint{From: 1, Key: tuple}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if code := c.Open(b, &m); code != result.OK {
			must.Eq(t, result.ClassPacket, code.Class())
		}
		if len(b) < HeaderSize {
			return
		}
		c.sign(b)
		if c.Open(b, &m) != result.OK {
			return
		}
		again := make([]byte, len(b))
		switch m.Type {
		case TypePacket:
			copy(again[HeaderSize:], m.Body)
			c.SealPacket(again, &m.Header)
		case TypeRefresh:
			again = c.SealRefresh(again, &m.Header, &m.Packet)
		default:
			return // SealHint does not encode the header fields that a hint does not use
		}
		must.Eq(t, b, again)
	})
}

func BenchmarkRelay(b *testing.B) {
	c := testCodec(1)
	message := sealPacket(c, string(make([]byte, 1400)))
	var m Message
	b.SetBytes(int64(len(message)))
	b.ReportAllocs()
	for b.Loop() {
		c.SealPacket(message, &testRelay)
		c.Open(message, &m)
	}
}
