package owner

import (
	"time"

	"heatherport/internal/connection"
)

// View is the view of an engine, for tests.
type View = view

// CurrentView returns the view that decisions use now.
func (e *Engine) CurrentView() *View { return e.view.Load() }

// DecideFrom decides as a goroutine does that loaded its view earlier.
func (e *Engine) DecideFrom(w *View, now time.Duration, p *connection.Packet) connection.Decision {
	return e.decideFrom(w, now, p, nil)
}
