package org.godwitwick.lab.process

import kotlin.concurrent.thread

/**
 * Entry point of child processes. It calls `main` of the class named by the first argument, and halts the process when its
 * standard input ends. That input is a pipe from the lab process, so child processes do not outlive a lab process that is killed.
 */
object ChildProcessMain {
    private const val EXIT_PARENT_ENDED = 3

    @JvmStatic
    fun main(args: Array<String>) {
        thread(isDaemon = true, name = "parent-watch") {
            while (System.`in`.read() >= 0) Unit
            Runtime.getRuntime().halt(EXIT_PARENT_ENDED)
        }
        Class.forName(args.first()).getMethod("main", Array<String>::class.java).invoke(null, args.drop(1).toTypedArray())
    }
}
