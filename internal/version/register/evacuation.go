package register

import (
	"slices"
	"strings"

	"heatherport/internal/result"
)

// Order starts or ends the evacuation of a failure domain.
type Order struct {
	Domain   string `cbor:"1,keyasint"`
	Evacuate bool   `cbor:"2,keyasint"`
	// After is the log index of the last order for the domain that the controller
	// knew when it took this one. An order is applied only if that is still the
	// last one, so that an order held up on its way cannot undo a later one.
	After    uint64 `cbor:"3,keyasint"`
	By       string `cbor:"4,keyasint"` // address that the order came from
	AtMillis int64  `cbor:"5,keyasint"` // time of the order, Unix milliseconds
}

// Encode returns the log entry that carries out o.
func (o Order) Encode() ([]byte, error) { return (&stored{Order: &o}).encode() }

// Evacuation is the state of a failure domain for which an order was given.
type Evacuation struct {
	Domain      string `cbor:"1,keyasint"`
	Active      bool   `cbor:"2,keyasint"`
	Index       uint64 `cbor:"3,keyasint"` // log index of the last change
	By          string `cbor:"4,keyasint"` // address that ordered the last change
	SinceMillis int64  `cbor:"5,keyasint"` // time of that order, Unix milliseconds
	// LastOrder is the log index of the last order, also of one that changed nothing
	// because the state was in force: it is acknowledged, so an earlier order that
	// arrives after it must not be applied.
	LastOrder uint64 `cbor:"6,keyasint,omitempty"`
}

// Evacuations is the state of all failure domains for which an order was given. It
// is immutable. The nil value holds none.
type Evacuations struct {
	all []Evacuation // by domain
}

func newEvacuations(all []Evacuation) *Evacuations {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Evacuation) int { return strings.Compare(a.Domain, b.Domain) })
	return &Evacuations{all: all}
}

// Index returns the log index of the last change, or zero.
func (e *Evacuations) Index() (index uint64) {
	if e == nil {
		return 0
	}
	for _, d := range e.all {
		index = max(index, d.Index)
	}
	return index
}

// LastOrder returns the log index of the last order for a domain, or zero.
func (e *Evacuations) LastOrder(domain string) uint64 { return e.of(domain).LastOrder }

// Active returns the evacuations in force, by domain.
func (e *Evacuations) Active() (active []Evacuation) {
	if e == nil {
		return nil
	}
	for _, d := range e.all {
		if d.Active {
			active = append(active, d)
		}
	}
	return active
}

// Ended returns the evacuations that are no longer in force, by domain.
func (e *Evacuations) Ended() (ended []Evacuation) {
	if e == nil {
		return nil
	}
	for _, d := range e.all {
		if !d.Active && d.Index > 0 {
			ended = append(ended, d)
		}
	}
	return ended
}

func (e *Evacuations) of(domain string) Evacuation {
	if e != nil {
		for _, d := range e.all {
			if d.Domain == domain {
				return d
			}
		}
	}
	return Evacuation{Domain: domain}
}

// apply returns the state after the order at a log index.
func (e *Evacuations) apply(index uint64, o *Order) (*Evacuations, error) {
	current := e.of(o.Domain)
	if current.LastOrder != o.After {
		return e, result.Errorf(result.VersionStale, "order for %s follows index %d; the last order is at %d", o.Domain, o.After, current.LastOrder)
	}
	current.LastOrder = index
	if current.Active != o.Evacuate {
		current.Active, current.Index, current.By, current.SinceMillis = o.Evacuate, index, o.By, o.AtMillis
	}
	var all []Evacuation
	if e != nil {
		all = slices.DeleteFunc(slices.Clone(e.all), func(d Evacuation) bool { return d.Domain == o.Domain })
	}
	return newEvacuations(append(all, current)), nil
}
