// Command rhubarbstalld is the daemon of an entry VM.
package main

func main() {}
