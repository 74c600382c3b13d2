// Package platformclient is a client of the platform's HTTP/JSON API.
//
// Every call has a deadline. The error of a failed call states what is known
// about its effect: [ErrUnavailable] means that nothing was changed;
// [ErrOutcomeUnknown] means that a write may or may not have taken effect, and
// that the caller must read the object to find out. The client does not retry
// calls.
package platformclient
