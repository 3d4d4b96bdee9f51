#pragma once

namespace citronspar
{

/** Allows retries as a share of requests, so that they can't multiply an overload. */
class RetryBudget
{
private:
    double m_share;
    double m_maximum;
    double m_tokens;

public:
    /**
     * @param share retries that each request adds to the budget
     * @param maximum the most retries that can be saved up; the budget starts full
     */
    RetryBudget(double share, double maximum);

    /** The most retries that can be saved up has changed; what is saved beyond it is lost. */
    void setMaximum(double maximum);

    /** A new request came in. */
    void addRequest();

    /** Takes one retry; false when the budget is spent. */
    bool takeRetry();
};

}
