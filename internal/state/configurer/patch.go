package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/pkg/errors"
)

// Limits on the cost of applying one patch. An operation of a patch may scan
// the whole document once, so the number of operations times the number of
// bytes bounds the run time; a product of 4 Gi takes about one second.
const (
	MaxPatchBytes    = 1 << 20
	MaxDocumentBytes = 16 << 20
	maxPatchWork     = 4 << 30
	maxPatchDepth    = 32
)

// Errors returned by [Document.MergePatch] and [Document.Patch].
var (
	// ErrPatchTooLarge reports a patch that exceeds a limit on size, depth or work.
	ErrPatchTooLarge = errors.New("patch is beyond the allowed size or work")
	// ErrInvalidPatch reports a patch that is malformed or cannot be applied to
	// the document.
	ErrInvalidPatch = errors.New("patch does not apply")
)

// MergePatch applies a JSON merge patch (RFC 7396) and returns the result as the
// next version. The receiver is unchanged. Invalid fields of the result are
// reported as [FieldErrors].
func (d *Document) MergePatch(patch []byte) (*Document, error) {
	return d.apply(patch, jsonpatch.MergePatch)
}

// Patch applies a JSON patch (RFC 6902) and returns the result as the next
// version. The receiver is unchanged. Invalid fields of the result are reported
// as [FieldErrors].
func (d *Document) Patch(patch []byte) (*Document, error) {
	return d.apply(patch, func(document, patch []byte) ([]byte, error) {
		ops, err := jsonpatch.DecodePatch(patch)
		if err != nil {
			return nil, err
		}
		return ops.ApplyWithOptions(document, &jsonpatch.ApplyOptions{AccumulatedCopySizeLimit: MaxPatchBytes})
	})
}

// NextWithContent returns the version after d with the given content. A
// rollback uses it to restore an earlier version.
func (d *Document) NextWithContent(content *Document) *Document {
	next := *content
	next.Version = d.Version + 1
	return &next
}

func (d *Document) apply(patch []byte, apply func(document, patch []byte) ([]byte, error)) (*Document, error) {
	data, err := d.Encode()
	if err != nil {
		return nil, errors.Wrap(err, "encode document")
	}
	if err := checkPatchBounds(patch, len(data)); err != nil {
		return nil, err
	}
	result, err := recoverPanic(apply, data, patch)
	if err != nil {
		return nil, errors.Wrap(ErrInvalidPatch, err.Error())
	}
	if len(result) > MaxDocumentBytes {
		return nil, errors.Wrapf(ErrPatchTooLarge, "the document would have %d bytes, at most %d are allowed", len(result), MaxDocumentBytes)
	}
	next, err := Decode(result)
	if err != nil {
		return nil, err
	}
	if next.Version != d.Version {
		return nil, FieldErrors{{Path: "/version", Problem: "is assigned by the system and cannot be patched"}}
	}
	next.Version = d.Version + 1
	return next, nil
}

// recoverPanic calls apply and converts a panic of the patch library into an
// error, because an untrusted patch must not crash the process.
func recoverPanic(apply func(document, patch []byte) ([]byte, error), document, patch []byte) (result []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("patch library: %v", cause)
		}
	}()
	return apply(document, patch)
}

// checkPatchBounds returns [ErrPatchTooLarge] if the patch exceeds a limit and
// [ErrInvalidPatch] if it is not JSON. It takes the number of JSON tokens as
// the number of operations, because each member or list entry is at most one
// operation.
func checkPatchBounds(patch []byte, documentBytes int) error {
	if len(patch) > MaxPatchBytes {
		return errors.Wrapf(ErrPatchTooLarge, "%d bytes, at most %d are allowed", len(patch), MaxPatchBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(patch))
	depth, operations := 0, 0
	for {
		token, err := dec.Token()
		if err != nil {
			break
		}
		operations++
		if d, ok := token.(json.Delim); ok {
			if d == '{' || d == '[' {
				depth++
			} else {
				depth--
			}
		}
		if depth > maxPatchDepth {
			return errors.Wrapf(ErrPatchTooLarge, "nested deeper than %d levels", maxPatchDepth)
		}
	}
	if work := operations * (documentBytes + len(patch)); work > maxPatchWork {
		return errors.Wrap(ErrPatchTooLarge, fmt.Sprintf("%d entries against %d bytes of document; split the patch", operations, documentBytes))
	}
	if !json.Valid(patch) {
		return errors.Wrap(ErrInvalidPatch, "not JSON")
	}
	return nil
}
