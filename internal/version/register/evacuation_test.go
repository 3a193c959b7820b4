package register

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"heatherport/internal/result"
)

func apply(t must.T, r *Register, index uint64, o Order) error {
	data, err := o.Encode()
	must.NoError(t, err)
	_, err = r.Apply(index, data)
	return err
}

// An order that was held up on its way must not undo a later one.
func TestDelayedOrderChangesNothing(t *testing.T) {
	var r Register
	start := Order{Domain: "akure", Evacuate: true, By: "192.0.2.7:4000", AtMillis: 5}
	must.NoError(t, apply(t, &r, 3, start))
	must.Eq(t, []Evacuation{{Domain: "akure", Active: true, Index: 3, By: "192.0.2.7:4000", SinceMillis: 5, LastOrder: 3}}, r.Evacuations().Active())
	must.NoError(t, apply(t, &r, 4, Order{Domain: "akure", After: 3}))
	must.Eq(t, result.VersionStale, result.CodeOf(apply(t, &r, 5, start)))
	must.SliceEmpty(t, r.Evacuations().Active())
	must.Eq(t, []Evacuation{{Domain: "akure", Index: 4, LastOrder: 4}}, r.Evacuations().Ended())
	// The same order given anew is a new order.
	start.After = 4
	must.NoError(t, apply(t, &r, 6, start))
	must.Eq(t, 6, r.Evacuations().Index())
}

func TestOrderForTheStateInForceIsAcknowledged(t *testing.T) {
	var r Register
	must.NoError(t, apply(t, &r, 1, Order{Domain: "akure"})) // ends what never began
	must.Eq(t, 0, r.Evacuations().Index())
	must.SliceEmpty(t, r.Evacuations().Ended())
	must.NoError(t, apply(t, &r, 2, Order{Domain: "akure", Evacuate: true, After: 1, By: "192.0.2.7:4000"}))
	must.NoError(t, apply(t, &r, 3, Order{Domain: "akure", Evacuate: true, After: 2, By: "192.0.2.8:4000"}))
	must.Eq(t, 2, r.Evacuations().Index())
	must.Eq(t, "192.0.2.7:4000", r.Evacuations().Active()[0].By)
}

// An order for the state in force is a later order too: one that was held up on its
// way since before it must not undo it after its acknowledgement, also not from a
// snapshot on.
func TestDelayedOrderCannotUndoARepeatedOne(t *testing.T) {
	for _, start := range []bool{true, false} {
		var r Register
		must.NoError(t, apply(t, &r, 2, Order{Domain: "akure", Evacuate: true}))
		if !start {
			must.NoError(t, apply(t, &r, 3, Order{Domain: "akure", After: 2}))
		}
		last := r.Evacuations().LastOrder("akure")
		delayed := Order{Domain: "akure", Evacuate: !start, After: last}
		must.NoError(t, apply(t, &r, 4, Order{Domain: "akure", Evacuate: start, After: last}))
		snapshot, err := r.Snapshot()
		must.NoError(t, err)
		must.NoError(t, r.Restore(r.Index(), snapshot))
		must.Eq(t, result.VersionStale, result.CodeOf(apply(t, &r, 5, delayed)))
		must.Eq(t, start, r.Evacuations().of("akure").Active)
	}
}

// Orders of several controllers, whose knowledge is of different age, arrive lost,
// repeated and in any order among documents. The state is that of the last order that
// was acknowledged, also after a snapshot.
func TestOrdersRacing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Register
		domains := []string{"akure", "ibadan"}
		want := map[string]bool{}
		var inTransit []Order
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			index := uint64(i + 1)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1: // a controller takes an order with what it knows now
				domain := rapid.SampledFrom(domains).Draw(t, "domain")
				inTransit = append(inTransit, Order{Domain: domain, Evacuate: rapid.Bool().Draw(t, "evacuate"), After: r.Evacuations().LastOrder(domain)})
			case 2: // an order arrives, perhaps for the second time
				if len(inTransit) == 0 {
					continue
				}
				o := rapid.SampledFrom(inTransit).Draw(t, "order")
				isLast := o.After == r.Evacuations().LastOrder(o.Domain)
				err := apply(t, &r, index, o)
				must.Eq(t, isLast, err == nil)
				if err == nil {
					want[o.Domain] = o.Evacuate
				}
			case 3:
				data, err := Document{Number: index, Body: []byte{byte(i)}}.Encode()
				must.NoError(t, err)
				_, err = r.Apply(index, data)
				must.NoError(t, err)
			case 4:
				snapshot, err := r.Snapshot()
				must.NoError(t, err)
				number := r.Document().Number
				must.NoError(t, r.Restore(r.Index(), snapshot))
				must.Eq(t, number, r.Document().Number)
			}
			for _, d := range domains {
				must.Eq(t, want[d], r.Evacuations().of(d).Active)
			}
		}
	})
}
