package org.godwitwick.lab.process

import kotlin.concurrent.thread

/**
 * Runs the `main` of the class that the first argument names, and ends the process when its standard input ends. The input is a pipe
 * from the process that started it, so nothing outlives a lab process that was killed.
 */
object GuardedMain {
    private const val EXIT_PARENT_GONE = 3

    @JvmStatic
    fun main(args: Array<String>) {
        thread(isDaemon = true, name = "parent-watch") {
            while (System.`in`.read() >= 0) Unit
            Runtime.getRuntime().halt(EXIT_PARENT_GONE)
        }
        Class.forName(args.first()).getMethod("main", Array<String>::class.java).invoke(null, args.drop(1).toTypedArray())
    }
}
