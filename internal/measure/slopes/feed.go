package slopes

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"heatherport/internal/measure"
	"heatherport/internal/version/feed"
	"heatherport/internal/version/state"
)

// feedCost measures what a source sends for one change by the number of
// subscribers, and what it sends for a new sheet and to a joining VM by the size
// of the state.
func feedCost() []measure.Figure {
	var f figures
	for _, n := range []int{8, 32, 128, 825, 6_600} {
		feedChangeCost(&f, n)
	}
	for _, s := range upstreamSizes {
		feedStateCost(&f, s)
	}
	for _, s := range upstreamSizes[:4] {
		feedHistoryMemory(&f, s)
	}
	return f
}

// feedHistorySheets is the number of sheets in the history of a source. They fit
// into the memory of the machine at all measured sizes.
const feedHistorySheets = 256

// feedHistoryMemory measures the heap of a source's history whose entries are
// whole sheets.
func feedHistoryMemory(f *figures, s size) {
	data, err := state.EncodeCommand(state.Command{SubmitSheet: s.sheet(1)})
	check(err)
	source, heap := measureHeap(func() *feed.Source {
		source := feed.NewSource(0, 0, func() []byte { return nil })
		for i := range uint64(feedHistorySheets) {
			source.Publish(0, feed.Entry{Index: i + 1, Data: slices.Clone(data)}, i)
		}
		return source
	})
	runtime.KeepAlive(source)
	f.add(s.name("feed_history_heap"), heap/bytesPerMB, "MB")
}

// feedChangeCost measures one change of an upstream that is sent to n
// subscribers.
func feedChangeCost(f *figures, n int) {
	fx := newFixture(currentSize)
	source := feed.NewSource(fx.Index(), fx.Digest(), fx.Snapshot)
	for i := range n {
		source.HandlePosition(0, memberName(i), feed.Position{Applied: fx.Index(), Digest: fx.Digest()})
	}
	id := fx.Version().Upstreams[0].ID
	load := uint8(0)
	push := func() []feed.Outgoing {
		load++
		return push(source, fx, statusCommand(id, load))
	}
	bytes := 0
	for _, out := range push() {
		bytes += linkHeaderSize + encodedSize(out.Message)
	}
	f.add(fmt.Sprintf("feed_change_bytes_n%d", n), float64(bytes), "bytes")
	f.add(fmt.Sprintf("feed_change_time_n%d", n), nsPerOp(func() {
		for _, out := range push() {
			encodedSize(out.Message)
		}
	})/nsPerUs, "µs")
}

// push applies c and returns the messages that the source sends.
func push(source *feed.Source, fx *fixture, c state.Command) []feed.Outgoing {
	fx.apply(c)
	data, err := state.EncodeCommand(c)
	if err != nil {
		panic(err)
	}
	return source.Publish(time.Second, feed.Entry{Index: fx.Index(), Data: data}, fx.Digest())
}

// feedStateCost measures one sheet and one whole snapshot that are sent to a
// subscriber.
func feedStateCost(f *figures, s size) {
	fx := newFixture(s)
	source := feed.NewSource(fx.Index(), fx.Digest(), fx.Snapshot)
	source.HandlePosition(0, memberName(0), feed.Position{Applied: fx.Index(), Digest: fx.Digest()})
	out := push(source, fx, state.Command{SubmitSheet: s.sheet(2)})
	f.add(s.name("feed_sheet_bytes"), float64(linkHeaderSize+encodedSize(out[0].Message)), "bytes")
	bytes, chunks := 0, 0
	p := feed.Position{}
	for {
		out := source.HandlePosition(time.Second, memberName(1), p)
		chunk := out[0].Message.Chunk
		if chunk == nil {
			break
		}
		chunks++
		bytes += linkHeaderSize + encodedSize(out[0].Message)
		p.ChunkIndex, p.ChunkOffset = chunk.Index, chunk.Offset+len(chunk.Data)
		if p.ChunkOffset == chunk.Total {
			break
		}
	}
	f.add(s.name("feed_snapshot_bytes"), float64(bytes), "bytes")
	f.add(s.name("feed_snapshot_pieces"), float64(chunks), "messages")
}
