package fleet

import "sync"

// direction is one direction of the link between two VMs.
type direction struct{ from, to string }

// Partition is the set of blocked link directions. Its zero value blocks none.
type Partition struct {
	mu      sync.Mutex
	blocked map[direction]bool
}

// allow implements app.Options.AllowLink.
func (p *Partition) allow(from, to string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.blocked[direction{from, to}]
}

// Block silently drops messages from the VMs called from to the VMs called to.
func (p *Partition) Block(from, to []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blocked == nil {
		p.blocked = make(map[direction]bool)
	}
	for _, a := range from {
		for _, b := range to {
			p.blocked[direction{a, b}] = true
		}
	}
}

// Heal unblocks all links.
func (p *Partition) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked = nil
}

// Isolate partitions the given VMs from all others, in both directions. Links
// among them stay open.
func (f *Fleet) Isolate(vms ...int) {
	inside, outside := f.splitNames(vms)
	f.Partition.Block(inside, outside)
	f.Partition.Block(outside, inside)
}

// BlockOutgoing drops messages from the given VMs to all others. They still
// receive messages.
func (f *Fleet) BlockOutgoing(vms ...int) {
	inside, outside := f.splitNames(vms)
	f.Partition.Block(inside, outside)
}

// Domain returns the VMs in the failure domain of VM i.
func (f *Fleet) Domain(i int) []int {
	var vms []int
	for j := range f.settings {
		if f.settings[j].VM.Domain == f.settings[i].VM.Domain {
			vms = append(vms, j)
		}
	}
	return vms
}

// splitNames returns the names of the given VMs and the names of the others.
func (f *Fleet) splitNames(vms []int) (inside, outside []string) {
	in := make(map[int]bool)
	for _, i := range vms {
		in[i] = true
	}
	for i := range f.settings {
		if in[i] {
			inside = append(inside, f.Name(i))
		} else {
			outside = append(outside, f.Name(i))
		}
	}
	return inside, outside
}
