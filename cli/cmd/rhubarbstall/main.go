// Command rhubarbstall is the operators' client.
package main

func main() {}
