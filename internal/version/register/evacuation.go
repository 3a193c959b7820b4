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
	// After is the log index of the last change of the domain that the controller
	// knew when it took the order. An order is applied only if that is still the
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

// IndexOf returns the log index of the last change of a domain, or zero.
func (e *Evacuations) IndexOf(domain string) uint64 { return e.of(domain).Index }

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

// Ended returns the log index of the end of each evacuation that is no longer in
// force, by domain.
func (e *Evacuations) Ended() map[string]uint64 {
	ended := make(map[string]uint64)
	if e == nil {
		return ended
	}
	for _, d := range e.all {
		if !d.Active {
			ended[d.Domain] = d.Index
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

// apply returns the state after the order at a log index. It returns e itself if
// the order changes nothing.
func (e *Evacuations) apply(index uint64, o *Order) (*Evacuations, error) {
	current := e.of(o.Domain)
	if current.Index != o.After {
		return e, result.Errorf(result.VersionStale, "order for %s follows index %d; the last change is at %d", o.Domain, o.After, current.Index)
	}
	if current.Active == o.Evacuate {
		return e, nil
	}
	var all []Evacuation
	if e != nil {
		all = slices.DeleteFunc(slices.Clone(e.all), func(d Evacuation) bool { return d.Domain == o.Domain })
	}
	return newEvacuations(append(all, Evacuation{Domain: o.Domain, Active: o.Evacuate, Index: index, By: o.By, SinceMillis: o.AtMillis})), nil
}
