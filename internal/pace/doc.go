// Package pace limits the calls in flight at servers that start or recover. The limit
// grows while a server responds as fast as settled servers of its service, and falls when
// it is slower or fails. Times are passed in, and nothing is sent to other VMs: each
// derives its share of the limit from the lists of servers and VMs.
package pace
