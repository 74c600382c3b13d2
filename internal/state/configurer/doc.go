// Package configurer defines the versioned configuration document: its types,
// its validation, the application of patches, and the evaluation of the
// accepted and the proposed version together while a proposal is open.
//
// Invariants: a document is immutable once it is built, so that readers share
// it without locks; of a key only the hash is stored.
package configurer
