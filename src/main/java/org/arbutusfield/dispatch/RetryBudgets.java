package org.arbutusfield.dispatch;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.arbutusfield.admission.RetryBudget;
import org.arbutusfield.model.Service;
import org.arbutusfield.proxy.RetryLimiter;

/** One retry budget for each service, each guarded by its own lock. */
final class RetryBudgets implements RetryLimiter {
    private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

    private RetryBudgets() {}

    /** Returns an instance with full budgets. */
    static RetryBudgets create() {
        return new RetryBudgets();
    }

    /** Records the first attempt of a request. */
    void recordFirstAttempt(String service) {
        RetryBudget budget = budget(service);
        synchronized (budget) {
            budget.recordFirstAttempt();
        }
    }

    @Override
    public boolean tryAcquire(Service service) {
        RetryBudget budget = budget(service.name());
        synchronized (budget) {
            return budget.tryAcquire();
        }
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(service, name -> RetryBudget.create());
    }
}
