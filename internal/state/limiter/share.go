package limiter

// Fraction is a part of a workspace's limit, in units of 1/[Whole].
type Fraction uint64

// Whole is the fraction that stands for the whole limit. Dividing by a power of
// two is exact in floating point.
const Whole Fraction = 1 << 32

// Of returns this fraction of an amount.
func (f Fraction) Of(amount float64) float64 {
	return float64(f) / float64(Whole) * amount
}

// FractionOf converts a ratio to a fraction. Ratios below 0 and above 1 are
// replaced by 0 and 1.
func FractionOf(ratio float64) Fraction {
	if !(ratio > 0) {
		return 0
	}
	return Fraction(min(ratio, 1) * float64(Whole))
}

// Share is a fraction of a limit and the tokens in its bucket.
type Share struct {
	Fraction Fraction `cbor:"fraction"`
	Tokens   float64  `cbor:"tokens"`
}
