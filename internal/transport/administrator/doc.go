// Package administrator serves the administration API for operators: JSON over
// HTTP with bearer tokens, and TLS on any address off loopback.
//
// A change carries the version that it is based on (base_version) and an
// attempt id. Resubmitting a change with the same attempt id and content is
// idempotent: it returns the recorded result. The status codes are:
//
//   - 200: the change is in force
//   - 202: the outcome is undecided; the client asks again later
//   - 400, 401 and 404: malformed request, invalid token, unknown object
//   - 409: another version is accepted, or the attempt id was used for another
//     change
//   - 413: the patch or the body is too large
//   - 422: invalid patch or configuration, with each invalid field
//   - 503: refused, with the reason and Retry-After
//
// Invariants: a response contains the secret of a key only when it is the
// response to the key's creation; no log line contains a token or a secret.
package administrator
