package owner

import (
	"time"

	"heatherport/internal/connection"
)

// View exposes view to tests.
type View = view

// CurrentView returns the view that decisions use now.
func (e *Engine) CurrentView() *View { return e.view.Load() }

// DecideFrom decides like a goroutine that has loaded the view w before a newer
// one was published.
func (e *Engine) DecideFrom(w *View, now time.Duration, p *connection.Packet) connection.Decision {
	return e.decideFrom(w, now, p, nil)
}
