package cwconfig

// Functions for the tests in package cwconfig_test, which can't be in this
// package because they use cwspread, which imports it.
var (
	HandleRead  = (*Syncer).handleRead
	HandleReply = (*Syncer).handleReply
)
