// Command demo runs a whole small deployment on this machine and checks its promises.
package main

func main() {}
