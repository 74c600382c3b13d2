// Package starter assembles and runs one instance on the users' platform from
// the product's parts and the adapter in the folder platform.
package starter
