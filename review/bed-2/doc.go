// Command bed-2 plays the scripted cases of an independent review against entry hosts that run as processes of their own. The store,
// the runners and the clients are stand-ins in this process.
package main
