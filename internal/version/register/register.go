// Package register is the replicated state of the operators' configuration:
// the newest document that was accepted. It is a pure state machine; entries
// of a replicated log go in, and the document in force comes out.
package register

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"heatherport/internal/result"
)

// maxDocumentBytes bounds a document after decompression: a log entry that
// claims more is damaged.
const maxDocumentBytes = 16 << 20

// Document is a configuration as an operator sent it.
type Document struct {
	Number uint64
	Body   []byte
}

// stored is a document in a log entry or a snapshot.
type stored struct {
	Number uint64 `cbor:"1,keyasint"`
	Packed []byte `cbor:"2,keyasint"` // DEFLATE
}

// Encode returns the form of d in log entries and snapshots.
func (d Document) Encode() ([]byte, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "compress a document")
	}
	if _, err := w.Write(d.Body); err != nil {
		return nil, result.Wrapf(err, result.Internal, "compress a document")
	}
	if err := w.Close(); err != nil {
		return nil, result.Wrapf(err, result.Internal, "compress a document")
	}
	data, err := cbor.Marshal(stored{Number: d.Number, Packed: buf.Bytes()})
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode a document")
	}
	return data, nil
}

// Decode is the inverse of Document.Encode.
func Decode(data []byte) (Document, error) {
	var s stored
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Document{}, result.Wrapf(err, result.StorageCorrupt, "decode a document")
	}
	r := flate.NewReader(bytes.NewReader(s.Packed))
	body, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes+1))
	if err != nil {
		return Document{}, result.Wrapf(err, result.StorageCorrupt, "decompress a document")
	}
	if len(body) > maxDocumentBytes {
		return Document{}, result.Errorf(result.StorageCorrupt, "a document of more than %d bytes", maxDocumentBytes)
	}
	return Document{Number: s.Number, Body: body}, nil
}

// Register holds the document in force. The zero Register holds none.
type Register struct {
	index    uint64 // of the last entry applied
	document Document
	packed   []byte // encoded form of document
}

// Index returns the index of the last entry applied.
func (r *Register) Index() uint64 { return r.index }

// Document returns the document in force; its number is zero when there is
// none.
func (r *Register) Document() Document { return r.document }

// Apply applies the entry at index. It reports whether the document changed:
// only a higher number replaces the one in force.
func (r *Register) Apply(index uint64, data []byte) (changed bool, err error) {
	r.index = index
	if len(data) == 0 {
		return false, nil
	}
	d, err := Decode(data)
	if err != nil {
		return false, err
	}
	if d.Number <= r.document.Number {
		return false, nil
	}
	r.document = d
	r.packed = data
	return true, nil
}

// Snapshot returns the state for Restore.
func (r *Register) Snapshot() []byte { return r.packed }

// Restore replaces the state by a snapshot taken at index.
func (r *Register) Restore(index uint64, data []byte) error {
	r.index = index
	r.document = Document{}
	r.packed = nil
	_, err := r.Apply(index, data)
	return err
}
