// Package quota holds the tree of departments. It orders departments by
// dominant-resource fairness and tells who borrows beyond a quota.
package quota
