// Command chestnutroad routes requests of teams to engines and plain services.
package main

func main() {}
