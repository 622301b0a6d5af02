// Package scenario runs scripted scenarios in which every part of a cell is an
// operating system process: daemons, workers, the platform and the links
// between them. Only tests use it.
//
// The scripts are in testdata, in the format of testscript. In addition to the
// commands of that library they use these:
//
//	cell N W [SETTING=VALUE] [worker.FLAG=VALUE]  start N daemons and W workers with Cobán's document
//	crash NAME...                                 send SIGKILL to instances
//	freeze NAME..., thaw NAME...                  send SIGSTOP or SIGCONT
//	terminate NAME...                             send SIGTERM and check that the exit code is 0
//	restart NAME...                               kill instances if they run, and start them again
//	cut FROM TO                                   hold back the data from FROM to TO; one of them may be platform
//	cut both A B                                  hold back the data in both directions
//	heal                                          end all cuts, delays and losses
//	delay MS JITTER_MS [LOSS_SHARE]               delay, jitter and loss of every link between instances
//	platform up|down|store-down|hang|slow MS|lose-answers N
//	                                              set the state of the store and the list
//	worker NAME fault KEY=VALUE                   set faults of package workerstandin
//	worker NAME crash                             make a worker lose all tasks
//	worker NAME leave                             mark a worker as leaving on the platform's list
//	load NAME KIND N [KEY=VALUE]                  send N requests in the background; see type load
//	cancel-load NAME                              cancel the requests of a load concurrently
//	answers NAME STATUS...                        wait for all answers; each must have one of the statuses
//	wait-for [within=DURATION] CONDITION          wait for a condition, by default at most 30 s; see parseCondition
//	code N PROGRAM ARGUMENT...                    run a program that must exit with code N
//	home-of ID VARIABLE                           set a variable to the instance that holds the request's partition
//	starts ID N                                   check that the tasks of a request started N times on all workers together
//	takeover NAME DURATION                        check that every worker which NAME held when it was killed starts work in time
//	left NAME DURATION                            check that nothing starts on a worker this long after it was marked as leaving
//	writes-under N                                check that the platform counted at most N writes in any second
//	verify                                        check the invariants against the workers' records and the answers
//
// # Usage
//
//	testscript.Run(t, scenario.Params("testdata", folderOfPrograms))
package scenario
