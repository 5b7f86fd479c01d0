// Command bed plays the cases of the review that can't be played as a day of the bench: a small installation of real entry hosts,
// with stand-ins for the platform's store, the runners and the clients, all on loopback addresses.
package main
