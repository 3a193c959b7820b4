package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// upstreamConn is a connection that an upstream keeps for its calls.
type upstreamConn struct {
	t    *testing.T
	conn net.Conn
}

func dialAPI(t *testing.T, api netip.AddrPort) upstreamConn {
	conn, err := net.Dial("tcp", api.String())
	must.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return upstreamConn{t, conn}
}

func (c upstreamConn) call(method string, born int64) (status int) {
	body := ""
	if method == http.MethodPut {
		body = fmt.Sprintf(`{"service":"permits","address":"192.0.2.9:8080","zone":"akure","version":"v1","slots":3,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d}`, time.Now().UnixNano(), born)
	}
	_, err := fmt.Fprintf(c.conn, "%s /api/instances/i-7f3a91c2 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", method, len(body), body)
	must.NoError(c.t, err)
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	must.NoError(c.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	must.NoError(c.t, err)
	return response.StatusCode
}

// Guards against a program that does not tell its calls' connections apart: a withdrawal on
// the connection of an earlier incarnation must not end the current one.
func TestProgramKnowsWhoWithdraws(t *testing.T) {
	file, api := settingsFile(t, "controller")
	ctx, cancel := context.WithCancel(context.Background())
	var stdout, stderr bytes.Buffer
	exit := make(chan int, 1)
	go func() { exit <- run(ctx, []string{"controller", "--settings", file}, &stdout, &stderr) }()
	awaitHTTP(t, api)
	announcementsOfEnded := func() string {
		answer, err := http.Get("http://" + netip.AddrPortFrom(api.Addr(), 7735).String() + "/metrics")
		must.NoError(t, err)
		defer answer.Body.Close()
		body, err := io.ReadAll(answer.Body)
		must.NoError(t, err)
		_, after, _ := strings.Cut(string(body), "\nheatherport_ended_announcements_total ")
		value, _, _ := strings.Cut(after, "\n")
		return value
	}
	earlier, current := dialAPI(t, api), dialAPI(t, api)
	must.Eq(t, http.StatusOK, earlier.call(http.MethodPut, 1))
	must.Eq(t, http.StatusOK, current.call(http.MethodPut, 2))
	must.Eq(t, http.StatusOK, earlier.call(http.MethodDelete, 0))
	must.Eq(t, http.StatusOK, current.call(http.MethodPut, 2))
	must.Eq(t, "0", announcementsOfEnded())
	must.Eq(t, http.StatusOK, current.call(http.MethodDelete, 0))
	must.Eq(t, http.StatusOK, earlier.call(http.MethodPut, 2))
	must.Eq(t, "1", announcementsOfEnded())
	cancel()
	must.Zero(t, <-exit)
}
