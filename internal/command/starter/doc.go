// Package starter assembles the components of an instance, connects them to the
// users' platform through the package platform, and runs the instance.
package starter
