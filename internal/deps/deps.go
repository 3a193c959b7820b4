// Package deps holds the modules that the parts under construction need in go.mod.
package deps

import (
	_ "github.com/alexflint/go-arg"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/gopacket/layers"
	_ "github.com/google/renameio/v2"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promauto"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/prometheus/common/expfmt"
	_ "github.com/quic-go/quic-go"
	_ "github.com/shoenig/test/must"
	_ "go.uber.org/fx"
	_ "golang.org/x/crypto/blake2s"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/net/ipv6"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gopkg.in/ini.v1"
	_ "pgregory.net/rapid"
)
