s/if (job->nleft == 0)/if (job->nleft <= 1)/
