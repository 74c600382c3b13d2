// Package archiver keeps the encoded forms of records and messages as golden files
// of the tests, so that a change of a format that another build reads is noticed.
//
// A golden file holds one value in one version of its format. A test compares the
// newest version with what the code writes, and reads the files of all versions. A
// file is never rewritten: a changed format needs a new version.
package archiver
