#pragma once

namespace citronspar
{

/** Token bucket that limits retries to a share of requests, so that retries don't amplify an overload. */
class RetryBudget
{
private:
    double m_tokensPerRequest;
    double m_maximum;
    double m_tokens;

public:
    /**
     * @param tokensPerRequest retries that each request adds to the budget
     * @param maximum capacity of the bucket, in retries; the bucket starts full
     */
    RetryBudget(double tokensPerRequest, double maximum);

    /** Sets the capacity of the bucket; tokens above it are discarded. */
    void setMaximum(double maximum);

    /** Adds the retry share of one new request. */
    void addRequest();

    /** Consumes one retry; returns false if the budget is exhausted. */
    bool tryConsumeRetry();
};

}
