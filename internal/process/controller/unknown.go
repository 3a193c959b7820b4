package controller

import (
	"net/netip"
	"sync"

	"github.com/hashicorp/go-hclog"

	"heatherport/internal/process/stream"
)

// maxUnknownLines bounds the senders and kinds of which a line is logged.
const maxUnknownLines = 256

// unknownKinds remembers which messages of newer builds were ignored.
type unknownKinds struct {
	mu     sync.Mutex
	logged map[unknownKind]bool
}

type unknownKind struct {
	sender netip.Addr
	kind   stream.Kind
}

// note counts a message of an unknown kind, and logs the first one of each sender.
func (u *unknownKinds) note(log hclog.Logger, sender netip.Addr, kind stream.Kind, count func()) {
	count()
	u.mu.Lock()
	defer u.mu.Unlock()
	k := unknownKind{sender, kind}
	if u.logged[k] || len(u.logged) >= maxUnknownLines {
		return
	}
	if u.logged == nil {
		u.logged = make(map[unknownKind]bool)
	}
	u.logged[k] = true
	log.Warn("message of an unknown kind ignored; its sender runs a newer build", "sender", sender, "kind", kind)
}
