// Package limiter implements a token bucket that holds a fraction of a
// workspace's rate and burst. The fractions of all instances, together with
// those in transfer, sum to at most [Whole].
//
// # Why all instances together stay within rate and burst
//
// Let the rate be R and the burst B. A bucket with fraction f holds at most
// f x B tokens at all times, because every change ends by capping the tokens.
// A [Share] in transfer is within the same bound, because [Bucket.Split] moves
// at most fraction x B tokens. Since the fractions sum to at most 1, all tokens of
// all instances sum to at most B at any moment s. Tokens are created only by
// refill, at f x R x 0.99 a second of the local clock. With clocks that drift
// by at most 1%, this is at most f x R a second of true time. So for a window
// of length t that starts at s, at most B tokens existed at its start and at
// most R x t were added: at most R x t + B tokens are spent on admissions.
// Losing a share in transfer only lowers the sum.
//
// Tokens can also be lent for a short period without a fraction. A loan takes
// up capacity of the lender until the period is over, so lent tokens count
// towards the lender's bound of fraction x B. The borrower spends them within
// the period and only once.
//
// A changed limit takes effect at the first call that passes it. The time since
// the previous call is refilled at the lower of both rates, a lowered burst
// caps the tokens at once, and a raised burst adds none.
//
// Fractions are integers, so that splitting and merging conserve them exactly.
package limiter
