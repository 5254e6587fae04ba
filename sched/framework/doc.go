// Package framework defines the extension points of task placement: Permit decides
// whether a task may start now, Candidates proposes workers, Filter rejects workers
// that cannot run the task, Score rates the others, and Reserve accounts for the
// start. A plugin is a type that implements one or more of them. To add a plugin, add
// a file to package plugins and list the plugin in engine.New.
package framework
