package acceptor

// SetRetryAfterSend sets whether the acceptor retries batches that must not be
// sent twice.
func (a *Acceptor) SetRetryAfterSend(on bool) { a.retryAfterSend = on }
