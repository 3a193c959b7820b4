package app

import (
	"context"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.uber.org/fx"

	"heatherport/internal/connection/owner"
	"heatherport/internal/process/audit"
	"heatherport/internal/process/control"
	"heatherport/internal/process/keys"
	"heatherport/internal/process/link"
	"heatherport/internal/process/settings"
	"heatherport/internal/request/forward"
	"heatherport/internal/request/identity"
	"heatherport/internal/request/relay"
	"heatherport/internal/result"
	"heatherport/internal/version/vfs"
)

// linkFilter decides whether control messages from one VM to another are
// delivered.
type linkFilter func(from, to string) bool

// incarnation identifies a process of a VM and increases with each start.
type incarnation uint64

func newIncarnation() incarnation { return incarnation(time.Now().UnixNano()) }

func newTrail(lc fx.Lifecycle, s *settings.Settings) (audit.Trail, error) {
	if s.Audit.File == "" {
		return audit.NewRing(audit.DefaultRingRecords), nil
	}
	trail, err := audit.OpenFile(s.Audit.File, s.Audit.MaxBytes, s.Audit.Keep)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(trail.Close))
	return trail, nil
}

func newLinks(lc fx.Lifecycle, s *settings.Settings, store *keys.Store, log hclog.Logger, allow linkFilter) *link.Links {
	l := link.New(link.Config{
		Self:   s.VM.Name,
		Listen: s.Link.Listen,
		Server: store.ServerTLS(identity.VM),
		Client: store.ClientTLS(""),
		Log:    log.Named("link"),
		Allow:  allow,
	})
	lc.Append(fx.StartStopHook(l.Start, l.Stop))
	return l
}

func newEngine(s *settings.Settings) *owner.Engine {
	return owner.New(owner.Config{
		Capacity:        s.Connections.Capacity,
		ExceptionBudget: s.Connections.ExceptionBudget,
	})
}

func newKeyring(store *keys.Store, clock Clock) (*relay.Keyring, error) {
	now := time.Now()
	if _, ok := store.RelayKeys().Sending(now); !ok {
		return nil, result.Errorf(result.KeyMissing, "no relay key is valid now")
	}
	return relay.NewKeyring(relayKeys(store, now, clock())...)
}

// relayKeys returns the relay keys that are accepted at now. Their times are
// converted to the monotonic clock, which reads monoNow at now.
func relayKeys(store *keys.Store, now time.Time, monoNow time.Duration) []relay.Key {
	var out []relay.Key
	for _, k := range store.RelayKeys().Accepted(now) {
		key := relay.Key{ID: k.ID, Secret: k.Secret, SignFrom: monoNow + k.NotBefore.Sub(now)}
		if !k.NotAfter.IsZero() {
			key.AcceptUntil = monoNow + k.NotAfter.Sub(now)
		}
		out = append(out, key)
	}
	return out
}

func newForwarder(lc fx.Lifecycle, s *settings.Settings, e *owner.Engine, ring *relay.Keyring, clock Clock) (*forward.Forwarder, error) {
	f, err := forward.New(context.Background(), forward.Config{
		FabricAddr: s.Fabric.Listen,
		RelayAddr:  s.Relay.Listen,
		ReturnAddr: s.Fabric.Return,
		Receivers:  s.Fabric.Receivers,
		Batch:      s.Fabric.Batch,
	}, e, ring, clock)
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StartStopHook(f.Start, f.Stop))
	return f, nil
}

// controllerParams are the dependencies of a Controller.
type controllerParams struct {
	fx.In

	Settings    *settings.Settings
	Incarnation incarnation
	Engine      *owner.Engine
	Links       *link.Links
	Trail       audit.Trail
	Log         hclog.Logger
	Clock       Clock
}

func newController(lc fx.Lifecycle, p controllerParams) (*control.Controller, error) {
	s := p.Settings
	cfg := control.Config{
		Name:        s.VM.Name,
		Domain:      s.VM.Domain,
		Incarnation: uint64(p.Incarnation),
		Relay:       s.Relay.Advertise,
		Link:        s.Link.Advertise,
		API:         s.API.Advertise,
		Voters:      s.Voters.Initial,
		Engine:      p.Engine,
		Links:       p.Links,
		Audit:       p.Trail,
		Log:         p.Log.Named("control"),
		Clock:       p.Clock,
		Seed:        uint64(p.Incarnation),
	}
	for _, peer := range s.Peers {
		cfg.Seeds = append(cfg.Seeds, link.Peer{Name: peer.Name, Addr: peer.Link})
	}
	if s.VM.DataDir != "" {
		if err := openFolder(s, &cfg); err != nil {
			return nil, err
		}
	}
	c, err := control.New(cfg)
	if err != nil {
		return nil, err
	}
	if err := removeBootstrapFile(s); err != nil {
		c.Discard()
		return nil, err
	}
	lc.Append(fx.StartStopHook(c.Start, c.Stop))
	return c, nil
}

// bootstrapFile marks a data folder that was prepared for a new fleet. It is
// removed at the first start, so that a data folder that is lost later is not
// mistaken for a new one.
const bootstrapFile = "bootstrap"

func openFolder(s *settings.Settings, cfg *control.Config) error {
	folder, err := vfs.Dir(s.VM.DataDir)
	if err != nil {
		return err
	}
	cfg.Folder = folder
	_, err = os.Stat(filepath.Join(s.VM.DataDir, bootstrapFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "data folder")
	}
	if s.IsVoter() {
		cfg.Bootstrap = s.Voters.Initial
	}
	return nil
}

// Bootstrap prepares the data folder of an initial voter for a new fleet.
func Bootstrap(s *settings.Settings) error {
	if s.VM.DataDir == "" || !s.IsVoter() {
		return result.Errorf(result.BadSettings, "VM %s is not an initial voter with a data folder", s.VM.Name)
	}
	if err := os.MkdirAll(s.VM.DataDir, 0o700); err != nil {
		return result.Wrapf(err, result.StorageFailed, "data folder")
	}
	entries, err := os.ReadDir(s.VM.DataDir)
	if err != nil {
		return result.Wrapf(err, result.StorageFailed, "data folder")
	}
	if len(entries) > 0 {
		return result.Errorf(result.StorageLocked, "data folder %s is not empty", s.VM.DataDir)
	}
	if err := os.WriteFile(filepath.Join(s.VM.DataDir, bootstrapFile), nil, 0o600); err != nil {
		return result.Wrapf(err, result.StorageFailed, "data folder")
	}
	return nil
}

func removeBootstrapFile(s *settings.Settings) error {
	if s.VM.DataDir == "" {
		return nil
	}
	err := os.Remove(filepath.Join(s.VM.DataDir, bootstrapFile))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return result.Wrapf(err, result.StorageFailed, "data folder")
	}
	return nil
}

// fabricIdlePeriod is the time without a packet from the fabric after which a
// stopping VM assumes that the fabric no longer sends to it.
const fabricIdlePeriod = time.Second

// drainOnStop registers a hook that runs before any other component stops. The
// VM hands over its connections, relays packets until the fabric has stopped
// sending, and then ends its membership.
func drainOnStop(lc fx.Lifecycle, s *settings.Settings, c *control.Controller, f *forward.Forwarder, log hclog.Logger) {
	lc.Append(fx.StopHook(func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, s.VM.StopTimeout)
		defer cancel()
		err := c.Drain(ctx)
		if err == nil {
			waitFabricIdle(ctx, f)
			err = c.EndMembership(ctx)
		}
		if err != nil {
			log.Warn("stopping before the handover is complete", "error", err)
		}
		return nil
	}))
}

// waitFabricIdle waits until no packet has arrived from the fabric for
// fabricIdlePeriod, or ctx ends.
func waitFabricIdle(ctx context.Context, f *forward.Forwarder) {
	last := f.Counters().PacketsIn
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(fabricIdlePeriod):
		}
		n := f.Counters().PacketsIn
		if n == last {
			return
		}
		last = n
	}
}
