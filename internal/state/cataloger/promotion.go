package cataloger

import (
	"slices"
	"strconv"
	"strings"

	"oleanderpulley/internal/state/identifier"
)

// OpenPromotions is a set of promotions, each written as SERVER@TOKEN and separated by
// blanks, which server ids do not contain. It is a string so that records can be
// compared. The zero value is the empty set.
type OpenPromotions string

// OpenPromotion identifies a promotion by its server and its fencing token.
type OpenPromotion string

// NewOpenPromotion returns the promotion of the server with the token.
func NewOpenPromotion(server identifier.BackendServerID, token uint64) OpenPromotion {
	return OpenPromotion(string(server) + "@" + strconv.FormatUint(token, 10))
}

// Server returns the server that is promoted.
func (p OpenPromotion) Server() identifier.BackendServerID {
	server := string(p)
	if end := strings.LastIndexByte(server, '@'); end >= 0 {
		server = server[:end]
	}
	return identifier.BackendServerID(server)
}

// NewOpenPromotions returns the set of the promotions.
func NewOpenPromotions(promotions []OpenPromotion) OpenPromotions {
	texts := make([]string, len(promotions))
	for i, p := range promotions {
		texts[i] = string(p)
	}
	slices.Sort(texts)
	return OpenPromotions(strings.Join(slices.Compact(texts), " "))
}

// All returns the promotions of the set.
func (o OpenPromotions) All() []OpenPromotion {
	var all []OpenPromotion
	for _, text := range strings.Fields(string(o)) {
		all = append(all, OpenPromotion(text))
	}
	return all
}

// Union returns the promotions of both sets.
func (o OpenPromotions) Union(other OpenPromotions) OpenPromotions {
	return NewOpenPromotions(append(o.All(), other.All()...))
}
