// Command stage plays the scripted cases of the second review: it starts instances of the
// project as separate processes, with the command of the deploy file, against the project's
// stand-ins of the platform, and judges what clients, backend servers and the platform saw.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the
// case could not run.
package main
