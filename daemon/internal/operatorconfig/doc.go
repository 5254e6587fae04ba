// Package operatorconfig holds the newest version of the operator's configuration that this VM knows, and when it was
// last confirmed that no newer one exists. Versions come from the store and from other VMs; they only increase.
package operatorconfig
