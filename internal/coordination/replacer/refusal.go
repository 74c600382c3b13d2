package replacer

import (
	"github.com/pkg/errors"

	"oleanderpulley/internal/state/cataloger"
)

const (
	// tokenGapBits is by how many bits the gap between two tokens grows with each refusal.
	tokenGapBits = 8
	// maxTokenGaps is the number of refusals in a row that raise the token by a gap. It
	// leaves tokens for 2^15 services without a primary, if the platform refuses their
	// servers for another reason.
	maxTokenGaps = 7
)

// tokenRefusals is the number of promotions in a row that were refused although the
// server runs, so that the token is likely too low: no instance knows the record under
// which a higher one was used, because it was removed, or lost with an older copy of
// the store. The next token is higher by a gap that grows with each refusal, so that the
// service is not without a primary until as many tokens have been tried.
type tokenRefusals int

// gap returns by how much the next token is raised.
func (n tokenRefusals) gap() uint64 {
	if n == 0 || n > maxTokenGaps {
		return 0
	}
	return 1 << (tokenGapBits * (n - 1))
}

// observePromotion counts a promotion that was refused although the server runs.
func (r *Replacer) observePromotion(p *replacement, b cataloger.BackendServer, err error) {
	if err == nil {
		*p.refusals = 0
	}
	if !errors.Is(err, ErrPromotionConflict) {
		return
	}
	_, statusErr := r.Status(b)
	if statusErr == nil {
		*p.refusals++
	}
	r.Logger.Warn().Str("event", "promotion_refused").Str("service", string(p.service)).Str("server", string(b.ID)).
		Uint64("token", p.record.Token()).Bool("answers", statusErr == nil).Int("refusals", int(*p.refusals)).Send()
}
