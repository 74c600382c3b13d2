package cataloger

import (
	"slices"
	"strconv"
	"strings"

	"oleanderpulley/internal/state/identifier"
)

// OpenPromotions is a set of promotions, each written as SERVER@TOKEN and separated by
// blanks. It is a string so that records can be compared. The zero value is the empty set.
type OpenPromotions string

// OpenPromotion identifies a promotion by its server and its fencing token. A blank in
// the id of the server is written as %20, and a percent sign as %25.
type OpenPromotion string

var (
	escapeServerID   = strings.NewReplacer("%", "%25", " ", "%20")
	unescapeServerID = strings.NewReplacer("%25", "%", "%20", " ")
)

// NewOpenPromotion returns the promotion of the server with the token.
func NewOpenPromotion(server identifier.BackendServerID, token uint64) OpenPromotion {
	return OpenPromotion(escapeServerID.Replace(string(server)) + "@" + strconv.FormatUint(token, 10))
}

// Server returns the server that is promoted.
func (p OpenPromotion) Server() identifier.BackendServerID {
	server := string(p)
	if end := strings.LastIndexByte(server, '@'); end >= 0 {
		server = server[:end]
	}
	return identifier.BackendServerID(unescapeServerID.Replace(server))
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
	for text := range strings.SplitSeq(string(o), " ") {
		if text != "" {
			all = append(all, OpenPromotion(text))
		}
	}
	return all
}

// Union returns the promotions of both sets.
func (o OpenPromotions) Union(other OpenPromotions) OpenPromotions {
	return NewOpenPromotions(append(o.All(), other.All()...))
}
