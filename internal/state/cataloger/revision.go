package cataloger

import (
	"cmp"
	"strconv"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Revision orders the changes of a store across its eras. A store that comes back from
// an older copy begins a new era and issues the numbers of lost changes again; every
// revision of the new era is higher than those of the earlier ones. Nothing else is
// known of either number: they start anywhere, and numbers rise by any steps. The zero
// value is no revision.
//
// Earlier releases have a single number, packed, in its place. Their form is sent for
// each revision that it can hold, and another type for the others, so that these
// releases refuse a message in place of taking one revision for another.
type Revision struct {
	Era    uint64 // Number of times that the store came back from a copy, as the store counts it.
	Number uint64 // That the store gave to the change.
}

// packedNumberBits is the number of low bits that have the number of a packed revision.
const packedNumberBits = 40

// ErrMalformedRevision reports an encoded revision that cannot be decoded.
var ErrMalformedRevision = errors.New("revision is malformed")

// IsZero reports whether r is no revision.
func (r Revision) IsZero() bool {
	return r == Revision{}
}

// Compare returns a negative number if r is lower than o, 0 if both are the same, and a
// positive number if r is higher.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Number, o.Number))
}

// IsAfter reports whether r is higher than o.
func (r Revision) IsAfter(o Revision) bool {
	return r.Compare(o) > 0
}

// String returns the number, or ERA/NUMBER in an era other than 0.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number, 10)
	if r.Era == 0 {
		return number
	}
	return strconv.FormatUint(r.Era, 10) + "/" + number
}

// packed returns the form of earlier releases, and false if it cannot hold the revision.
func (r Revision) packed() (packed uint64, ok bool) {
	packed = r.Era<<packedNumberBits | r.Number
	return packed, unpack(packed) == r
}

func unpack(packed uint64) Revision {
	return Revision{Era: packed >> packedNumberBits, Number: packed & (1<<packedNumberBits - 1)}
}

// digestText returns a text that no other revision has. For each revision that earlier
// releases have, it is theirs.
func (r Revision) digestText() string {
	if packed, ok := r.packed(); ok {
		return strconv.FormatUint(packed, 36)
	}
	return strconv.FormatUint(r.Era, 36) + "/" + strconv.FormatUint(r.Number, 36)
}

// MarshalCBOR returns the packed form as an integer, or the era and the number as an
// array of two.
func (r Revision) MarshalCBOR() ([]byte, error) {
	if packed, ok := r.packed(); ok {
		return cbor.Marshal(packed)
	}
	return cbor.Marshal([]uint64{r.Era, r.Number})
}

// UnmarshalCBOR decodes both forms. It returns [ErrMalformedRevision] for any other value.
func (r *Revision) UnmarshalCBOR(data []byte) error {
	var packed uint64
	if cbor.Unmarshal(data, &packed) == nil {
		*r = unpack(packed)
		return nil
	}
	var numbers []uint64
	if err := cbor.Unmarshal(data, &numbers); err != nil {
		return errors.Wrap(ErrMalformedRevision, err.Error())
	}
	if len(numbers) != 2 {
		return errors.Wrapf(ErrMalformedRevision, "%d numbers", len(numbers))
	}
	*r = Revision{Era: numbers[0], Number: numbers[1]}
	return nil
}
