// Package register implements the replicated state of the operators: the accepted
// document with the highest number and the evacuations of failure domains. It is a
// pure state machine: it applies the entries of a replicated log.
package register

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
)

// maxDocumentBytes bounds a document after decompression. A log entry that
// decompresses to more is corrupt.
const maxDocumentBytes = 16 << 20

// Document is a configuration as submitted by an operator.
type Document struct {
	Number uint64
	Body   []byte
}

// stored is the encoding of log entries and snapshots. An entry holds either a
// document or an order; a snapshot holds the document and all evacuations.
type stored struct {
	Number      uint64       `cbor:"1,keyasint"`
	Compressed  []byte       `cbor:"2,keyasint"` // document, DEFLATE
	Order       *Order       `cbor:"3,keyasint,omitempty"`
	Evacuations []Evacuation `cbor:"4,keyasint,omitempty"`
	// Level is the feature level that a build must have to read this.
	Level uint64 `cbor:"5,keyasint,omitempty"`
	// Raise is the feature level that comes into force with an entry, or that was in
	// force at a snapshot.
	Raise uint64 `cbor:"6,keyasint,omitempty"`
}

func (s *stored) encode() ([]byte, error) {
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode log entry")
	}
	return data, nil
}

// Encode returns the log entry that puts d in force.
func (d Document) Encode() ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "compress document")
	}
	if _, err := w.Write(d.Body); err != nil {
		return nil, result.Wrapf(err, result.Internal, "compress document")
	}
	if err := w.Close(); err != nil {
		return nil, result.Wrapf(err, result.Internal, "compress document")
	}
	return (&stored{Number: d.Number, Compressed: buf.Bytes()}).encode()
}

// document decompresses the document of an entry or a snapshot.
func (s *stored) document() (Document, error) {
	if s.Number == 0 {
		return Document{}, nil
	}
	r := flate.NewReader(bytes.NewReader(s.Compressed))
	body, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return Document{}, result.Wrapf(err, result.StorageCorrupt, "decompress document")
	}
	if len(body) > maxDocumentBytes {
		return Document{}, result.Errorf(result.StorageCorrupt, "document is larger than %d bytes", maxDocumentBytes)
	}
	return Document{Number: s.Number, Body: body}, nil
}

// Register holds the document in force and the evacuations. The zero Register
// holds none.
type Register struct {
	index       uint64 // of the last entry applied
	document    Document
	compressed  []byte // document as in stored
	evacuations *Evacuations
	level       uint64 // feature level in force
}

// Index returns the index of the last entry applied.
func (r *Register) Index() uint64 { return r.index }

// Document returns the document in force; its number is zero when there is
// none.
func (r *Register) Document() Document { return r.document }

// Evacuations returns the evacuations, nil when none was ever ordered.
func (r *Register) Evacuations() *Evacuations { return r.evacuations }

// Apply applies the log entry at index. It reports whether the state changed: only
// a document with a higher number replaces the one in force. An order that another
// order preceded fails with VersionStale and changes nothing. An entry that needs a newer
// build fails with BuildTooOld and is not applied, nor may any after it.
func (r *Register) Apply(index uint64, data []byte) (changed bool, err error) {
	if len(data) == 0 {
		r.index = index
		return false, nil
	}
	s, err := decodeStored(data)
	if result.CodeOf(err) == result.BuildTooOld {
		return false, err
	}
	r.index = index
	if err != nil {
		return false, err
	}
	r.level = max(r.level, s.Raise)
	if s.Order != nil {
		next, err := r.evacuations.apply(index, s.Order)
		changed = err == nil && next != r.evacuations
		if changed {
			r.evacuations = next
		}
		return changed, err
	}
	return r.applyDocument(s)
}

func (r *Register) applyDocument(s *stored) (changed bool, err error) {
	d, err := s.document()
	if err != nil || d.Number <= r.document.Number {
		return false, err
	}
	r.document = d
	r.compressed = s.Compressed
	return true, nil
}

// Snapshot returns the state in the form that Restore takes.
func (r *Register) Snapshot() ([]byte, error) {
	s := stored{Number: r.document.Number, Compressed: r.compressed, Raise: r.level}
	if r.evacuations != nil {
		s.Evacuations = r.evacuations.all
	}
	return s.encode()
}

// Restore replaces the state with a snapshot taken at index. An invalid snapshot changes
// nothing.
func (r *Register) Restore(index uint64, data []byte) error {
	restored := Register{index: index}
	if len(data) > 0 {
		s, err := decodeStored(data)
		if err != nil {
			return err
		}
		restored.level = s.Raise
		if len(s.Evacuations) > 0 {
			restored.evacuations = newEvacuations(s.Evacuations)
		}
		if _, err := restored.applyDocument(s); err != nil {
			return err
		}
	}
	*r = restored
	return nil
}
