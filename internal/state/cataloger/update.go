package cataloger

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// minCompressedBytes is the size below which an update is sent as it is,
	// because the compressor takes more memory than such an update.
	minCompressedBytes = 4 << 10
	// maxUpdateBytes bounds the memory that a received update takes.
	maxUpdateBytes = 32 << 20
)

// The first byte of an encoded update.
const (
	formatPlain byte = iota
	formatDeflate
)

// ErrMalformedUpdate reports an encoded update that cannot be decoded.
var ErrMalformedUpdate = errors.New("update of the catalog is malformed")

// Update brings the catalog of another instance up to date, either by the whole
// catalog or by a change. It must not be modified after its first use. Its encoded
// form is compressed, and computed once for all instances that get it, since a relay
// with a small share of a processor would not send it to all of them in time
// otherwise.
type Update struct {
	Catalog *Catalog
	Change  *Change

	once    sync.Once
	encoded []byte
	err     error
}

// updateBody is the encoded form of an update before it is compressed.
type updateBody struct {
	Catalog *Catalog `cbor:"catalog,omitempty"`
	Change  *Change  `cbor:"change,omitempty"`
}

// Size returns the number of bytes of the encoded form.
func (u *Update) Size() (int, error) {
	encoded, err := u.encode()
	return len(encoded), err
}

// MarshalCBOR returns the encoded form as a byte string.
func (u *Update) MarshalCBOR() ([]byte, error) {
	encoded, err := u.encode()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(encoded)
}

// UnmarshalCBOR decodes the encoded form.
func (u *Update) UnmarshalCBOR(data []byte) error {
	var encoded []byte
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return errors.Wrap(err, "update of the catalog")
	}
	body, err := decompress(encoded)
	if err != nil {
		return err
	}
	var decoded updateBody
	if err := cbor.Unmarshal(body, &decoded); err != nil {
		return errors.Wrap(err, "update of the catalog")
	}
	u.Catalog, u.Change = decoded.Catalog, decoded.Change
	return nil
}

func (u *Update) encode() ([]byte, error) {
	u.once.Do(func() {
		var body []byte
		if body, u.err = cbor.Marshal(updateBody{u.Catalog, u.Change}); u.err == nil {
			u.encoded, u.err = compress(body)
		}
	})
	return u.encoded, u.err
}

func compress(body []byte) ([]byte, error) {
	if len(body) < minCompressedBytes {
		return append([]byte{formatPlain}, body...), nil
	}
	var out bytes.Buffer
	out.WriteByte(formatDeflate)
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(encoded []byte) ([]byte, error) {
	if len(encoded) == 0 {
		return nil, errors.Wrap(ErrMalformedUpdate, "no bytes")
	}
	switch encoded[0] {
	case formatPlain:
		return encoded[1:], nil
	case formatDeflate:
		r := flate.NewReader(bytes.NewReader(encoded[1:]))
		body, err := io.ReadAll(io.LimitReader(r, maxUpdateBytes+1))
		if err != nil {
			return nil, errors.Wrapf(ErrMalformedUpdate, "inflating %d bytes: %v", len(encoded), err)
		}
		if len(body) > maxUpdateBytes {
			return nil, errors.Wrapf(ErrMalformedUpdate, "%d bytes inflate to more than %d", len(encoded), maxUpdateBytes)
		}
		return body, nil
	default:
		return nil, errors.Wrapf(ErrMalformedUpdate, "format %d", encoded[0])
	}
}
