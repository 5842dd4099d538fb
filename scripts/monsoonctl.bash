# Bash completion for monsoonctl; source it from a shell start-up file.

_monsoonctl()
{
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
	local words

	case $prev in
	plan)
		words="team_quota team_weight kind_urgency drain_worker
		    drain_dc avoid_worker prefer_dc long_cap remove"
		;;
	drain)
		words="worker dc"
		;;
	--token-env)
		words=$(compgen -e)
		;;
	check | --tls-ca)
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		return
		;;
	--entry | --against | --target | --reason | --expires | --base | --change)
		return
		;;
	*)
		words="intents plan confirm audit status drain watch check
		    evacuations --entry --token-env --target --reason --expires
		    --base --change --against --yes --json --tls --tls-ca
		    --help"
		;;
	esac
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
}

complete -F _monsoonctl monsoonctl
