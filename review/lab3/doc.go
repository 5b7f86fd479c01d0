// Command lab3 plays the scripted cases of the third review: it starts entry hosts as processes, with stand-ins of the store, the
// runners and the clients in its own process, and checks one rule by what these have seen.
package main
