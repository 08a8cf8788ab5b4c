package org.godwitwick.node.forward

import java.util.concurrent.Executor
import java.util.concurrent.Semaphore
import kotlin.concurrent.thread

/**
 * Model time for threads that block. At any moment at most one of them runs, and the time goes on when all of them wait, so a run is
 * repeatable and does not depend on the machine.
 */
internal class ModelTime : AutoCloseable {
    private class Waiter(val owner: Any, val untilMs: Long, val isDone: () -> Boolean, val turn: Semaphore = Semaphore(0))

    private class Task(val atMs: Long, val action: Runnable)

    private val waiters = ArrayList<Waiter>()
    private val tasks = ArrayList<Task>()
    private val idle = Semaphore(0)
    private val threads = ArrayList<Thread>()

    @Volatile
    var nowMs = 10_000L
        private set

    /** Owners whose threads do not go on. */
    val suspended = HashSet<Any>()

    /** Starts a thread of [owner]. */
    fun start(owner: Any, body: () -> Unit) {
        threads += thread(isDaemon = true) {
            try {
                await(owner, nowMs)
                body()
            } catch (_: InterruptedException) {
                Thread.currentThread().interrupt()
            }
        }
        idle.acquire()
    }

    /** Waits on a thread of [owner] until [untilMs], or earlier until [isDone]. */
    fun await(owner: Any, untilMs: Long, isDone: () -> Boolean = { false }) {
        val waiter = Waiter(owner, untilMs, isDone)
        synchronized(waiters) { waiters += waiter }
        idle.release()
        waiter.turn.acquire()
    }

    /** An executor that runs its tasks after [delayMs]. */
    fun delayed(delayMs: Long) = Executor { synchronized(waiters) { tasks += Task(nowMs + delayMs, it) } }

    /** Runs the threads and tasks for [ms]. */
    fun advance(ms: Long) {
        val endMs = nowMs + ms
        while (true) {
            while (runNext()) Unit
            if (nowMs >= endMs) return
            nowMs++
        }
    }

    private fun runNext(): Boolean {
        val task = synchronized(waiters) { tasks.firstOrNull { it.atMs <= nowMs }?.also(tasks::remove) }
        if (task != null) {
            task.action.run()
            return true
        }
        val waiter = waiters.firstOrNull { it.owner !in suspended && (it.untilMs <= nowMs || it.isDone()) } ?: return false
        waiters -= waiter
        waiter.turn.release()
        idle.acquire()
        return true
    }

    override fun close() = threads.forEach { it.interrupt() }
}
