// Package register implements the replicated state of the operators'
// configuration: the accepted document with the highest number. It is a pure
// state machine: it applies the entries of a replicated log and holds the
// document in force.
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

// stored is the encoding of a document in log entries and snapshots.
type stored struct {
	Number     uint64 `cbor:"1,keyasint"`
	Compressed []byte `cbor:"2,keyasint"` // DEFLATE
}

// Encode returns the encoding of d for log entries and snapshots.
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
	data, err := cbor.Marshal(stored{Number: d.Number, Compressed: buf.Bytes()})
	if err != nil {
		return nil, result.Wrapf(err, result.Internal, "encode document")
	}
	return data, nil
}

// Decode is the inverse of Document.Encode.
func Decode(data []byte) (Document, error) {
	var s stored
	if err := cbor.Unmarshal(data, &s); err != nil {
		return Document{}, result.Wrapf(err, result.StorageCorrupt, "decode document")
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

// Register holds the document in force. The zero Register holds none.
type Register struct {
	index    uint64 // of the last entry applied
	document Document
	encoded  []byte // document as returned by Document.Encode
}

// Index returns the index of the last entry applied.
func (r *Register) Index() uint64 { return r.index }

// Document returns the document in force; its number is zero when there is
// none.
func (r *Register) Document() Document { return r.document }

// Apply applies the log entry at index. It reports whether the document
// changed: only a document with a higher number replaces the one in force.
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
	r.encoded = data
	return true, nil
}

// Snapshot returns the state in the form that Restore takes.
func (r *Register) Snapshot() []byte { return r.encoded }

// Restore replaces the state with a snapshot taken at index.
func (r *Register) Restore(index uint64, data []byte) error {
	r.index = index
	r.document = Document{}
	r.encoded = nil
	_, err := r.Apply(index, data)
	return err
}
