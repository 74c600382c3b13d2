// Package splitter splits a JSON document into its parts without decoding them, so
// that one part that cannot be decoded does not hide the others.
//
// encoding/json refuses a document as a whole if one value in it is nested more
// than 10,000 deep or has another type than expected. It also changes texts that are
// not UTF-8 without an error, see [HasExactTexts]. A splitter only follows the
// delimiters: brackets, commas, colons and quotation marks. It does not recurse, and
// it needs one bit for each level of nesting. Scalars and the contents of strings are
// not verified; whoever decodes a part does that.
//
// Invariant: a document whose delimiters do not match, for instance because it was
// cut off, is refused as a whole.
package splitter
