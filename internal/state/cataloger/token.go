package cataloger

import "math"

// Token returns the fencing token of the promotions under the record. It is higher than
// that of every record from which this one follows.
//
// The token has a number of its own, because revisions cannot give one: those of a store
// that came back from an older copy begin again at a lower number, and the era and the
// number together have more bits than a token. While the packed revision holds both, it
// is the token, as instances of earlier releases expect. A revision that does not fit
// leaves room above the tokens of the earlier eras, in case no instance knows the newest
// record of these.
func (l Leadership) Token() uint64 {
	least, ok := l.Revision.packed()
	if !ok {
		least = l.Revision.Era << packedNumberBits
	}
	return max(least, l.LastToken+1, l.LastToken) // The last one if there is none above it.
}

// usedToken returns the highest token that may have been used under the record and those
// from which it follows. Releases before LastToken have used packed revisions alone.
func (l Leadership) usedToken() uint64 {
	if l.IsReplacing() {
		return l.Token()
	}
	packed, ok := l.Revision.packed()
	if !ok {
		return l.LastToken
	}
	return max(l.LastToken, packed)
}

// RaiseToken returns the record with a token that is higher by the gap.
func (l Leadership) RaiseToken(gap uint64) Leadership {
	if gap > 0 {
		l.LastToken = l.Token() + min(gap, math.MaxUint64-l.Token()) - 1
	}
	return l
}

// withTokenAfter returns the record with a token that is higher than those of the others.
func (l Leadership) withTokenAfter(others ...Leadership) Leadership {
	for _, o := range others {
		l.LastToken = max(l.LastToken, o.usedToken())
	}
	return l
}

// mergeToken returns the merged record with a token that is not lower than that of o, and
// higher than those that may have been used under o if that is another record.
func (l Leadership) mergeToken(o Leadership) Leadership {
	switch {
	case o.Revision == l.Revision && o.Token() > l.Token():
		l.LastToken = o.LastToken
	case o.Revision != l.Revision && o.usedToken() >= l.Token():
		l.LastToken = o.usedToken()
	}
	return l
}
