// Package allocator allocates loopback addresses to servers that listen only
// later, or again after a restart.
//
// A port that the kernel chose for "127.0.0.1:0" is free again while its server
// is down. The kernel may then give it to any other socket of the machine, and
// the server cannot start again. The ports of this package are outside of the
// range that the kernel chooses from, and no two processes use the same ones.
package allocator
