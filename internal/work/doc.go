// Package work estimates the engine time of requests from the prefill rate and the step time that a host observes.
package work
