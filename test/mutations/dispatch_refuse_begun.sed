s/if (!job->ran && job->nsent == 0)/if (true)/
